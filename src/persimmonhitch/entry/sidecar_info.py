"""Sidecars as the store lists them."""

from dataclasses import dataclass

from ..ids import Incarnation, Model, Region, Service, Upstream, Vm, Zone
from ..observe.logs import log
from ..store.objects import StoredObject
from ..wire.messages import UpstreamKind


@dataclass(frozen=True)
class SidecarInfo:
    """Where one sidecar is and what it serves."""

    upstream: Upstream
    vm: Vm
    zone: Zone
    region: Region
    host: str
    port: int
    kind: UpstreamKind
    service: Service
    incarnation: Incarnation
    models: frozenset[Model]
    draining: bool

    @classmethod
    def from_object(cls, obj: StoredObject) -> "SidecarInfo | None":
        """Return the sidecar of a stored object, or None for a broken one.

        One broken object must not hide the others; it shows in the logs.
        """
        spec = obj.spec
        try:
            return cls(
                upstream=Upstream(obj.name),
                vm=Vm(spec["vm"]),
                zone=Zone(spec["zone"]),
                region=Region(spec["region"]),
                host=str(spec["host"]),
                port=int(spec["port"]),
                kind=UpstreamKind(spec["kind"]),
                service=Service(spec.get("service", "")),
                incarnation=Incarnation(spec["incarnation"]),
                models=frozenset(Model(name) for name in spec.get("models", ())),
                draining=bool(spec.get("draining")) or bool(spec.get("drain")),
            )
        except (KeyError, ValueError, TypeError) as exc:
            log("sidecar_object_broken", name=obj.name, error=repr(exc))
            return None
