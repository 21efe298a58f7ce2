import { type ConfigurationDocument, listResources, type ResourceOf } from "@ibislanding/resources";

const MS_PER_SECOND = 1_000;

/** Returns the models and adapters that the client account may use, as the body of `GET /v1/models`. */
export const listModels = (configuration: ConfigurationDocument, account: ResourceOf<"ClientAccount">) => {
    const versions = listResources(configuration, "ModelVersion").filter(({ spec }) =>
        spec.active && account.spec.models.some(name => name === "*" || name === spec.model)
    );
    const adapters = listResources(configuration, "Adapter");
    const toEntry = (id: string, changedAtMs: number, team: string) => ({
        id,
        object: "model",
        created: Math.floor(changedAtMs / MS_PER_SECOND),
        owned_by: team,
    });
    const data = versions.flatMap(({ spec, changedAtMs, team }) => [
        toEntry(spec.model, changedAtMs, team),
        ...adapters.filter(adapter => adapter.spec.model === spec.model)
            .map(adapter => toEntry(`${spec.model}:${adapter.name}`, adapter.changedAtMs, adapter.team)),
    ]);
    return { object: "list", data };
};
