"""What began a stream, so that it is continued at the same software version only.

=========== ================================================================
`key`       hash of the route, the team and the attempt that began a stream
`table`     the origins that this instance knows, for a limited time
=========== ================================================================
"""

from .key import StreamKey, format_key, stream_key
from .table import OriginRecord, StreamOriginTable

__all__ = [
    "OriginRecord",
    "StreamKey",
    "StreamOriginTable",
    "format_key",
    "stream_key",
]
