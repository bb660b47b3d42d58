"""Source of the gateway's configuration: the newest version in the store."""

from peridot_gateway.dialect import Dialect, InvalidObject
from peridot_gateway.followers import ObjectWatcher
from peridot_gateway.routes import RouteIndex
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import Configuration


class ConfigurationSource(ObjectWatcher):
    """The newest configuration seen; it never reverts to an older version."""

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
            self.apply(item)

    def apply(self, change: Change) -> None:
        if change.name != self.dialect.configuration_name:
            return
        if isinstance(change, DeletedObject):
            self.log.write("configuration_deleted", kept=self.configuration.version)
            return
        try:
            configuration = self.dialect.parse_configuration(change.value)
        except InvalidObject as error:
            self.invalid_objects += 1
            self.log.write(
                "configuration_invalid", reason=error, kept=self.configuration.version
            )
            return
        if configuration.version <= self.configuration.version:
            return
        self.log.write(
            "configuration",
            version=configuration.version,
            before=self.configuration.version,
            routes=len(configuration.routes),
            revision=change.version,
            age_before=round(self.previous_age_s, 2),
        )
        self.index = RouteIndex(configuration)
