import type { Revision } from "@ibislanding/core";
import type { Resource } from "@ibislanding/resources";
import type { RequestedChange } from "../documents/requestedChange";
import { resourceKeyOf } from "./resourceKeyOf";

interface VersionConflict {
    readonly resource: string;
    readonly expectedVersion: Revision;
    readonly currentVersion: Revision;
}

/** Returns the changes whose expected version differs from the current version of the resource. */
export const findVersionConflicts = (
    changes: readonly RequestedChange[],
    resources: ReadonlyMap<string, Resource>,
): readonly VersionConflict[] =>
    changes.flatMap(change => {
        const resource = resourceKeyOf(change);
        const currentVersion = resources.get(resource)?.version ?? (0 as Revision);
        const { expectedVersion } = change;
        return expectedVersion === undefined || expectedVersion === currentVersion
            ? []
            : [{ resource, expectedVersion, currentVersion }];
    });
