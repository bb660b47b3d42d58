"""Sources: the configuration in force."""

from peridot_gateway.dialect import Dialect, InvalidObject
from peridot_gateway.followers import Follower
from peridot_gateway.routes import RouteIndex
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import Configuration


class ConfigurationSource(Follower):
    """Hold the newest configuration that was seen; it never reverts."""

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.configuration_kind
        self.index = RouteIndex(Configuration())

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force; version 0 if there is none yet."""
        return self.index.configuration

    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        for item in objects:
            self.take(item)

    def take(self, change: Change) -> None:
        if change.name != self.dialect.configuration_name:
            return
        if isinstance(change, DeletedObject):
            self.log.write("configuration_deleted", kept=self.configuration.version)
            return
        try:
            found = self.dialect.parse_configuration(change.value)
        except InvalidObject as error:
            self.log.write(
                "configuration_invalid", reason=error, kept=self.configuration.version
            )
            return
        if found.version <= self.configuration.version:
            return
        self.log.write(
            "configuration",
            version=found.version,
            before=self.configuration.version,
            routes=len(found.routes),
            revision=change.version,
            age_before=round(self.age_before_s, 2),
        )
        self.index = RouteIndex(found)
