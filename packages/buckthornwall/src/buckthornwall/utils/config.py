"""Declarations of settings, which stand beside the code that uses them."""

from collections.abc import Callable, Mapping
from typing import Any

from buckthornwall.codes import ResultCode, SettingsError

__all__ = ["ConfigItem", "ConfigNamespace"]

_TRUE = {"yes", "true", "on", "1"}
_FALSE = {"no", "false", "off", "0"}


def _parse_bool(text: str) -> bool:
    word = text.strip().lower()
    if word in _TRUE:
        return True
    if word in _FALSE:
        return False
    raise ValueError("expected yes or no")


def _parse_list(text: str) -> list[str]:
    return [word.strip() for word in text.replace("\n", ",").split(",") if word.strip()]


_PARSERS: dict[type, Callable[[str], Any]] = {
    bool: _parse_bool,
    int: int,
    float: float,
    str: str,
    list: _parse_list,
}


class ConfigItem:
    """One setting: default, description and bounds.

    Parameters
    ----------
    default
        The value if the file does not give one; its type is the type of the setting.
    description
        A sentence for the operators' guide. The name of the setting ends with the unit.
    minimum, maximum
        Inclusive bounds of a number.
    choices
        The only values allowed, if given.
    required
        Whether the file must give the setting.
    """

    def __init__(
        self,
        default: Any,
        description: str,
        minimum: float | None = None,
        maximum: float | None = None,
        choices: tuple[str, ...] | None = None,
        required: bool = False,
    ) -> None:
        self.default = default
        self.description = description
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices
        self.required = required

    def parse(self, text: str) -> Any:
        """Return the typed value of `text`.

        Raises
        ------
        ValueError
            If the text is not of the setting's type, out of bounds or not a choice.
        """
        value = _PARSERS[type(self.default)](text)
        if self.minimum is not None and not value >= self.minimum:
            raise ValueError(f"must be at least {self.minimum}")
        if self.maximum is not None and not value <= self.maximum:
            raise ValueError(f"must be at most {self.maximum}")
        if self.choices is not None and value not in self.choices:
            raise ValueError(f"must be one of {', '.join(self.choices)}")
        return value


class ConfigNamespace:
    """The settings of one INI section; subclasses declare `section` and its items."""

    section = ""

    def __init__(self, **values: Any) -> None:
        items = self.items()
        unknown = set(values) - set(items)
        if unknown:
            raise TypeError(f"unknown settings {sorted(unknown)}")
        for name, item in items.items():
            setattr(self, name, values.get(name, item.default))

    @classmethod
    def items(cls) -> dict[str, ConfigItem]:
        """Return the declared items by name."""
        return {
            name: item for name, item in vars(cls).items() if type(item) is ConfigItem
        }

    @classmethod
    def from_config(cls, section: Mapping[str, str], origin: str) -> "ConfigNamespace":
        """Return the validated settings of one section.

        Parameters
        ----------
        section
            Texts by key, as read from the file.
        origin
            Name of the file, for error messages.

        Raises
        ------
        SettingsError
            The message names file, section and key.
        """
        items = cls.items()
        where = f"{origin} [{cls.section}]"
        for key in section:
            if key not in items:
                raise SettingsError(ResultCode.SETTING_UNKNOWN, f"{where} {key}")
        values = {}
        for key, item in items.items():
            if key not in section:
                if item.required:
                    raise SettingsError(ResultCode.SETTING_MISSING, f"{where} {key}")
                continue
            try:
                values[key] = item.parse(section[key])
            except ValueError as error:
                raise SettingsError(
                    ResultCode.SETTING_INVALID, f"{where} {key}: {error}"
                ) from error
        return cls(**values)
