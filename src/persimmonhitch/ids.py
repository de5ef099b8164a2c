"""Distinct types for the identifiers that processes exchange."""

import secrets
from typing import Final, NewType

RequestId = NewType("RequestId", str)
Account = NewType("Account", str)
Plan = NewType("Plan", str)
Model = NewType("Model", str)
Adapter = NewType("Adapter", str)
Service = NewType("Service", str)
Upstream = NewType("Upstream", str)
Vm = NewType("Vm", str)
Zone = NewType("Zone", str)
Region = NewType("Region", str)
KeyHash = NewType("KeyHash", str)
LoanId = NewType("LoanId", str)
Cause = NewType("Cause", str)
"""What crashes are attributed to: a fingerprint or one or several parts of prompts."""
Fingerprint = NewType("Fingerprint", Cause)
"""Hash of path, client account and body; equal for all repeats of a request."""
PartId = NewType("PartId", Cause)
"""Part of a prompt that requests may share; starts with ``part-``."""
Incarnation = NewType("Incarnation", str)
"""Identifies one run of a process; a restart creates a new incarnation."""
Epoch = NewType("Epoch", int)
"""Fencing token of the planner's lease; never decreases."""
ConfigVersion = NewType("ConfigVersion", int)
"""Number of the newest applied configuration change; never decreases."""
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of an upstream's software; not of its weights or of the configuration."""
Tokens = NewType("Tokens", float)
"""Sum of prompt and generated tokens; the unit of rates and bursts."""

PART_PREFIX: Final = "part-"
ID_BYTES: Final = 12


def new_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(secrets.token_hex(ID_BYTES))


def new_incarnation() -> Incarnation:
    """Return a new random incarnation for a starting process."""
    return Incarnation(secrets.token_hex(ID_BYTES))


def new_loan_id() -> LoanId:
    """Return a new random id for a loan of tokens."""
    return LoanId(secrets.token_hex(ID_BYTES))
