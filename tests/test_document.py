"""The configuration document, its overlays and its files."""

import hashlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.document import (
    ConfigDocument,
    decode_document,
    diff_documents,
    effective_config,
    encode_document,
    json_schemas,
    load_documents,
    set_drained,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import ServiceKind
from dotterelhatch.ids import FailureDomain, OrganisationId, TargetId
from dotterelhatch.settingsfile import load_settings
from dotterelhatch.yamlfile import InvalidFile

EXAMPLES = Path(__file__).parent.parent / 'examples'
KONYA = FailureDomain('konya')
BASE = """\
organisations:
  - id: ipek
    weight: 3
  - id: cini
services:
  - id: usta
    kind: model
    limits:
      deadline_seconds: 90
    targets:
      - id: usta-1
        address: 127.0.0.1:1
        failure_domain: kayseri
        slots_count: 8
"""
OVERLAY = """\
services:
  usta:
    limits:
      deadline_seconds: 120
    drained: [usta-1]
    targets:
      - id: usta-2
        address: 127.0.0.1:2
        failure_domain: konya
        slots_count: 4
"""
# File, old text, new text and the start of each expected problem.
INVALID_DOCUMENTS = (
    ('base', 'weight: 3', 'weight: 0', ['base.yaml:3: organisations[0].wei']),
    ('base', 'id: cini', 'id: ipek', ['base.yaml:4: organisations[1].id: or']),
    ('base', 'model', 'modle', ['base.yaml:7: services[0].kind: modle is not']),
    ('base', 'organisations:', 'x:', ['base.yaml:1: o', 'base.yaml:1: x: unk']),
    ('base', BASE, '- a\n', ['base.yaml:1: the file must hold a mapping']),
    ('konya', '  usta:', '  ustam:', ['konya.yaml:2: services.ustam: the b']),
    (
        'konya',
        'services:',
        'organisations: []\nservices:',
        ['konya.yaml:1: organisations: belongs in the base: organisations, w'],
    ),
    (
        'konya',
        '    limits:',
        '    idempotent: true\n    weight: 2\n    limits:',
        [
            'konya.yaml:3: services.usta.idempotent: belongs in the base',
            'konya.yaml:4: services.usta.weight: belongs in the base',
        ],
    ),
    ('konya', '[usta-1]', '[x]', ['konya.yaml:5: services.usta.drained[0]: t']),
    ('konya', 'n: konya', 'n: k', ['konya.yaml:9: services.usta.targets[0].f']),
    ('konya', 'usta-2', 'usta-1', ['konya.yaml:7: services.usta.targets[0].i']),
    ('konya', ':2\n', ':1\n', ['konya.yaml:8: services.usta.targets[0].addr']),
    ('konya', '120', '2m', ['konya.yaml:4: services.usta.limits.deadline_s']),
)


def write(directory: Path, base: str = BASE, overlay: str = OVERLAY) -> Path:
    """Write the base and the overlay of a document to a directory."""
    (directory / 'overlays').mkdir()
    (directory / 'base.yaml').write_text(base)
    (directory / 'overlays' / 'konya.yaml').write_text(overlay)
    return directory


@pytest.mark.parametrize(('name', 'old', 'new', 'expected'), INVALID_DOCUMENTS)
def test_invalid_documents(
    tmp_path: Path, name: str, old: str, new: str, expected: list[str]
) -> None:
    """Guards against a missed problem and a wrong file, line or path.

    Each case replaces one text in the base or in the overlay.
    """
    texts = {'base': BASE, 'konya': OVERLAY}
    texts[name] = texts[name].replace(old, new, 1)
    with pytest.raises(InvalidFile) as caught:
        load_documents(write(tmp_path, texts['base'], texts['konya']))
    lines = [
        str(problem).rpartition('/')[2] for problem in caught.value.problems
    ]
    assert caught.value.kind is ErrorKind.CONFIG_INVALID
    for line, start in zip(lines, expected, strict=True):
        assert line.startswith(start), lines


def test_problems_of_all_files_at_once(tmp_path: Path) -> None:
    """Guards against stopping at the first file that has problems.

    An operator would have to correct the files in several rounds.
    """
    base = BASE.replace('weight: 3', 'weight: 0').replace('cini', 'ipek')
    overlay = OVERLAY.replace('usta-2', 'usta-1').replace('120', '-1')
    with pytest.raises(InvalidFile) as caught:
        load_documents(write(tmp_path, base, overlay))
    assert len(caught.value.problems) == 4


def test_effective_config(tmp_path: Path) -> None:
    """Guards against limits of one site that apply at another site.

    Targets of all sites must be listed at every site, drained ones as such.
    """
    document = load_documents(write(tmp_path))
    at_konya = effective_config(document, KONYA).services[0]
    elsewhere = effective_config(document, FailureDomain('kayseri')).services[0]
    assert at_konya.limits.deadline_seconds == 120
    assert elsewhere.limits.deadline_seconds == 90
    assert at_konya.targets == elsewhere.targets
    assert [(target.id, target.drained) for target in at_konya.targets] == [
        ('usta-1', True),
        ('usta-2', False),
    ]


def test_override_equal_to_the_default_is_kept(tmp_path: Path) -> None:
    """Guards against an encoding that drops fields set to their default.

    The overlay sets a limit to its default and the base to another value, which
    would apply if the field were dropped.
    """
    document = load_documents(write(tmp_path))
    decoded = decode_document(encode_document(document))
    assert effective_config(decoded, KONYA) == effective_config(document, KONYA)
    assert encode_document(decoded) == encode_document(document)


@given(
    st.binary() | st.sampled_from([b'null', b'[]', b'{"base":{}}', b'[' * 9999])
)
def test_decode_rejects_malformed_bytes(encoded: bytes) -> None:
    """Guards against an unexpected exception for bytes from a peer.

    A router checks the document that a peer offers and handles only
    DotterelhatchError.
    """
    with pytest.raises(DotterelhatchError) as caught:
        decode_document(encoded)
    assert caught.value.kind is ErrorKind.CONFIG_INVALID


def test_drain_and_undrain(tmp_path: Path) -> None:
    """Guards against an undrain that an overlay's drained list overrides.

    A target is drained by its own field or by an overlay's list, so an undrain
    must clear both.
    """
    document = load_documents(write(tmp_path))
    target = TargetId('usta-1')
    undrained = set_drained(document, target, drained=False)
    assert not effective_config(undrained, KONYA).services[0].targets[0].drained
    drained = set_drained(undrained, TargetId('usta-2'), drained=True)
    assert effective_config(drained, KONYA).services[0].targets[1].drained
    with pytest.raises(DotterelhatchError, match='no target x'):
        set_drained(document, TargetId('x'), drained=True)


def test_diff(tmp_path: Path) -> None:
    """Guards against a diff that omits a change or shows list indexes.

    Indexes shift when an entry is added or removed, so entries are shown by id.
    """
    before = load_documents(write(tmp_path))
    base = BASE.replace('weight: 3', 'weight: 4').replace('cini', 'oya')
    (tmp_path / 'base.yaml').write_text(base)
    after = load_documents([tmp_path / 'base.yaml'])
    assert diff_documents(before, before) == ()
    lines = diff_documents(before, after)
    assert lines[:3] == (
        '- base.organisations[cini]: {"id": "cini"}',
        '~ base.organisations[ipek].weight: 3.0 -> 4.0',
        '+ base.organisations[oya]: {"id": "oya"}',
    )
    assert lines[3].startswith('- overlays.konya: ')


def test_schemas_of_all_file_kinds() -> None:
    """Guards against a kind of file without a schema for editors.

    Operators edit the base, the overlays and the settings of routers.
    """
    assert set(json_schemas()) == {'base', 'overlay', 'router'}


def _check_services(document: ConfigDocument, targets: int) -> None:
    config = effective_config(document, KONYA)
    model, plain = config.services
    assert (model.kind, len(model.targets)) == (ServiceKind.MODEL, targets)
    assert (plain.kind, len(plain.targets)) == (ServiceKind.PLAIN, 3)
    kinds = {
        (method, route.idempotent)
        for route in plain.routes
        for method in route.methods
    }
    assert {('GET', True), ('POST', False)} <= kinds
    assert ('GET', False) not in kinds


@pytest.mark.parametrize(('user', 'targets'), [('workshops', 5), ('ramps', 6)])
def test_examples(user: str, targets: int) -> None:
    """Guards against examples that are invalid or use an address twice.

    A fleet started from such an example would not come up.
    """
    document = load_documents(EXAMPLES / user)
    _check_services(document, targets)
    organisations = document.base.organisations
    weights = sorted((entry.weight for entry in organisations), reverse=True)
    assert len(weights) == 16
    assert sum(weights[:4]) > sum(weights[4:])
    name = organisations[0].id
    key = f'{user}-{name}-key'.encode()
    owners = effective_config(document, KONYA).organisation_ids_by_key_digest
    assert owners[hashlib.sha256(key).hexdigest()] == OrganisationId(name)
    routers = [
        load_settings(path)
        for path in sorted((EXAMPLES / user / 'routers').glob('*.yaml'))
    ]
    assert len({router.router_id for router in routers}) == 4
    assert {router.failure_domain for router in routers} == set(
        document.overlays
    )
    addresses = [
        address
        for router in routers
        for address in (
            router.caller_address,
            router.peer_address,
            router.operations_address,
        )
    ]
    assert len(set(addresses)) == 12
