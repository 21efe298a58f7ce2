import type { ResourceKind } from "./resourceKind";
import type { ResourceManifest } from "./resourceManifest";
import type { ValidationIssue } from "./validationIssue";

type Reference = readonly [field: string, kind: ResourceKind, name: string];

const referencesOf: {
    readonly [K in ResourceKind]: (manifest: ResourceManifest & { kind: K; }) => readonly Reference[];
} = {
    Service: () => [],
    MachineClass: () => [],
    Adapter: () => [],
    ModelVersion: ({ spec }) => [["spec.service", "Service", spec.service]],
    ClientAccount: ({ spec }) =>
        spec.services.filter(name => name !== "*").map(name => ["spec.services", "Service", name] as const),
    Placement: ({ spec }) => [
        ["spec.service", "Service", spec.service],
        ...spec.machineClasses.map(name => ["spec.machineClasses", "MachineClass", name] as const),
    ],
};

/** Returns an issue for each reference to a resource that is not among the manifests. */
export const checkReferences = (manifests: readonly ResourceManifest[]): readonly ValidationIssue[] => {
    const known = new Set(manifests.map(({ kind, name }) => `${kind}/${name}`));
    return manifests.flatMap(manifest => {
        const references = (referencesOf[manifest.kind] as (manifest: ResourceManifest) => readonly Reference[])(
            manifest,
        );
        return references
            .filter(([, kind, name]) => !known.has(`${kind}/${name}`))
            .map(([field, kind, name]) => ({
                resource: `${manifest.kind}/${manifest.name}`,
                field,
                value: JSON.stringify(name),
                reason: `no ${kind} of this name`,
            }));
    });
};
