"""Registration records of sidecars in the store."""

from dataclasses import dataclass

from ..ids import Incarnation, Model, Region, Service, Upstream, Vm, Zone
from ..observe.logs import log
from ..store.objects import StoredObject
from ..wire.messages import UpstreamKind


@dataclass(frozen=True)
class SidecarInfo:
    """Address, location and served models of a sidecar."""

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
        """Parse a stored object; log an invalid object and return None.

        One invalid object must not hide the other sidecars.
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
