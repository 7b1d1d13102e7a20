"""Reads an INI file into validated sections."""

import configparser
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Self

from buckthornwall.codes import ResultCode, SettingsError
from buckthornwall.utils import ConfigNamespace, split_address

__all__ = ["SettingsFile", "check_address", "read_sections", "read_text"]


def read_text(path: Path) -> str:
    """Return the text of a settings file.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error


def read_sections(
    text: str, origin: str, known: Mapping[str, type[ConfigNamespace]]
) -> dict[str, ConfigNamespace]:
    """Return the validated sections of a settings file by name.

    Parameters
    ----------
    text, origin
        Text of the file, and its name for error messages.
    known
        Class of each section by name.

    Raises
    ------
    SettingsError
        The message names file, section and key.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="-")
    try:
        parser.read_string(text, origin)
    except configparser.Error as error:
        detail = " ".join(str(error).split())
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, detail) from error
    for section in parser.sections():
        if section not in known:
            raise SettingsError(ResultCode.SETTING_UNKNOWN, f"{origin} [{section}]")
    return {
        name: namespace.from_config(
            parser[name] if parser.has_section(name) else {}, origin
        )
        for name, namespace in known.items()
    }


@dataclass
class SettingsFile:
    """The sections of one file; a subclass declares a field for each section."""

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Read and validate a file.

        Raises
        ------
        SettingsError
            The message names file, section and key.
        """
        return cls.from_config(read_text(path), str(path))

    @classmethod
    def from_config(cls, text: str, origin: str = "settings") -> Self:
        """Return the validated settings from the text of a file.

        Raises
        ------
        SettingsError
            The message names file, section and key.
        """
        known = {field.name: field.type for field in fields(cls)}
        settings = cls(**read_sections(text, origin, known))
        settings._check_consistency(origin)
        return settings

    def _check_consistency(self, origin: str) -> None:
        """Check what depends on several settings or on the format of one."""


def check_address(origin: str, section: str, key: str, text: str) -> None:
    """Check that a setting is ``IP:port``.

    Raises
    ------
    SettingsError
        SETTING_INVALID; the message names file, section and key.
    """
    try:
        split_address(text)
    except ValueError as error:
        raise SettingsError(
            ResultCode.SETTING_INVALID,
            f"{origin} [{section}] {key}: expected IP:port, got {text!r}",
        ) from error
