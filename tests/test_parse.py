"""Tests of the validation of completion requests."""

import pytest
from pydantic import ValidationError

from dotterelhatch.filters.parse import _Completion


@pytest.mark.parametrize('count', [0, 10**9, 10**30])
def test_max_tokens_out_of_range(count: int) -> None:
    """Guards against a max_tokens beyond the range of the numbers in frames.

    The estimated cost of a request is sent to other routers in frames.
    """
    text = f'{{"model": "usta-model", "prompt": "a", "max_tokens": {count}}}'
    with pytest.raises(ValidationError) as caught:
        _Completion.model_validate_json(text)
    first = caught.value.errors()[0]
    assert first['loc'] == ('max_tokens',)
    assert 'than or equal to' in first['msg']
