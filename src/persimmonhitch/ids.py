"""Identifiers that the programs exchange, each a type of its own."""

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
Fingerprint = NewType("Fingerprint", str)
"""What is the same in all attempts of a call: its path, client account and body."""
Incarnation = NewType("Incarnation", str)
"""One life of one process; a restarted process has another."""
Epoch = NewType("Epoch", int)
"""Fencing number of the planner's lease; only ever rises."""
ConfigVersion = NewType("ConfigVersion", int)
"""Number of the newest configuration change applied; only ever rises."""
Tokens = NewType("Tokens", float)
"""Prompt tokens plus generated tokens, the unit of rates and bursts."""

ID_BYTES: Final = 12


def new_request_id() -> RequestId:
    """Return a fresh request id."""
    return RequestId(secrets.token_hex(ID_BYTES))


def new_incarnation() -> Incarnation:
    """Return a fresh incarnation for a process that starts."""
    return Incarnation(secrets.token_hex(ID_BYTES))


def new_loan_id() -> LoanId:
    """Return a fresh id for one loan of tokens."""
    return LoanId(secrets.token_hex(ID_BYTES))
