import type { Revision } from "@ibislanding/core";
import type { Resource, ResourceManifest } from "@ibislanding/resources";
import { isDeepStrictEqual } from "node:util";
import type { ChangeContext } from "../documents/changeContext";
import type { RequestedChange } from "../documents/requestedChange";
import type { ResourceChange } from "../documents/resourceChange";
import { resourceKeyOf } from "../queries/resourceKeyOf";

/** Removes undefined fields, as serialization to the store does. */
const normalize = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;

const applyManifest = (
    resources: Map<string, Resource>,
    manifest: ResourceManifest,
    revision: Revision,
    context: ChangeContext,
): ResourceChange => {
    const { kind, name, team } = manifest;
    const key = `${kind}/${name}`;
    const current = resources.get(key);
    const spec = normalize(manifest.spec);
    const isSpecUnchanged = current !== undefined && isDeepStrictEqual(normalize(current.spec), spec);
    if (current !== undefined && isSpecUnchanged && current.team === team) {
        return { action: "unchanged", kind, name, generation: current.generation };
    }
    const generation = (current?.generation ?? 0) + (isSpecUnchanged ? 0 : 1);
    const { changedBy, nowMs: changedAtMs } = context;
    resources.set(key, { kind, name, team, generation, version: revision, changedBy, changedAtMs, spec } as Resource);
    return { action: current === undefined ? "created" : "updated", kind, name, generation };
};

/** Applies a validated change to the resources, which it modifies in place, and returns the record of the change. */
export const applyChange = (
    resources: Map<string, Resource>,
    change: RequestedChange,
    revision: Revision,
    context: ChangeContext,
): ResourceChange => {
    if (change.action === "apply") {
        return applyManifest(resources, change.manifest, revision, context);
    }
    const { kind, name } = change;
    const generation = resources.get(resourceKeyOf(change))?.generation ?? 0;
    resources.delete(resourceKeyOf(change));
    return { action: "deleted", kind, name, generation };
};
