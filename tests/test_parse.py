"""Form of completion requests."""

import pytest
from pydantic import ValidationError

from dotterelhatch.filters.parse import _Completion


@pytest.mark.parametrize('count', [0, 10**9, 10**30])
def test_the_allowed_range_of_tokens_is_named(count: int) -> None:
    """Guards against sizes that no frame can carry."""
    text = f'{{"model": "usta-model", "prompt": "a", "max_tokens": {count}}}'
    with pytest.raises(ValidationError) as caught:
        _Completion.model_validate_json(text)
    first = caught.value.errors()[0]
    assert first['loc'] == ('max_tokens',)
    assert 'than or equal to' in first['msg']
