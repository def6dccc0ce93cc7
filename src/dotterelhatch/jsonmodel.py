"""Models of JSON documents that other programs write."""

from typing import Any, ClassVar, Final, Self

from pydantic import BaseModel, ConfigDict, ValidationError

__all__ = (
    'MAX_INTEGER',
    'InvalidDocumentError',
    'JsonModel',
    'describe_errors',
)

# Larger integers can't be passed on in heartbeats.
MAX_INTEGER: Final = 2**63 - 1
_MAX_DESCRIBED_COUNT: Final = 3


class InvalidDocumentError(ValueError):
    """A document is too long, malformed, or has an invalid field."""


class JsonModel(BaseModel):
    """Base class of documents from other programs.

    Unknown fields are ignored, values are not converted between types, and
    numbers are finite.
    """

    model_config = ConfigDict(
        extra='ignore', frozen=True, strict=True, allow_inf_nan=False
    )
    max_document_bytes: ClassVar[int] = 1_048_576

    @classmethod
    def decode(cls, content: bytes) -> Self:
        """Decode a document; the parser limits its depth and its numbers.

        :raises InvalidDocumentError: for any invalid document.
        """
        if len(content) > cls.max_document_bytes:
            raise InvalidDocumentError(
                f'longer than {cls.max_document_bytes} bytes'
            )
        try:
            return cls.model_validate_json(content)
        except ValidationError as error:
            raise InvalidDocumentError(describe_errors(error)) from error

    @classmethod
    def convert(cls, fields: Any) -> Self:
        """Validate a part of a decoded document.

        :raises InvalidDocumentError: for any invalid part.
        """
        try:
            return cls.model_validate(fields)
        except ValidationError as error:
            raise InvalidDocumentError(describe_errors(error)) from error


def describe_errors(error: ValidationError) -> str:
    """Return the first errors, with the names of the fields."""
    details = error.errors(include_url=False, include_input=False)
    return '; '.join(
        '{}: {}'.format('.'.join(map(str, detail['loc'])), detail['msg'])
        for detail in details[:_MAX_DESCRIBED_COUNT]
    )
