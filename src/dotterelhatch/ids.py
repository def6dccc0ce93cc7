"""Types of identifiers that are used throughout the package."""

from typing import NewType

__all__ = (
    'CauseId',
    'ConfigVersion',
    'FailureDomain',
    'Fingerprint',
    'GrantId',
    'Incarnation',
    'OrganisationId',
    'RequestId',
    'RouterId',
    'ServiceId',
    'TargetId',
)

CauseId = NewType('CauseId', int)
ConfigVersion = NewType('ConfigVersion', int)
FailureDomain = NewType('FailureDomain', str)
Fingerprint = NewType('Fingerprint', str)
GrantId = NewType('GrantId', int)
Incarnation = NewType('Incarnation', int)
OrganisationId = NewType('OrganisationId', str)
RequestId = NewType('RequestId', str)
RouterId = NewType('RouterId', str)
ServiceId = NewType('ServiceId', str)
TargetId = NewType('TargetId', str)
