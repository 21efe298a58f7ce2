import type { RequestedChange } from "@ibislanding/configuration";
import { createFailure, ErrorCode, type Failure, type Revision } from "@ibislanding/core";
import { type ConfigurationDocument, findResource } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import { canAccessTeam } from "../operators/canAccessTeam";
import type { Operator } from "../operators/operator";

const targetOf = (change: RequestedChange) => (change.action === "delete" ? change : change.manifest);

const failureOf = (
    change: RequestedChange,
    document: ConfigurationDocument,
    operator: Operator,
): Failure | undefined => {
    const { kind, name } = targetOf(change);
    const existing = findResource(document, kind, name);
    if (change.action === "delete" && existing === undefined) {
        return createFailure(ErrorCode.UnknownResource, { details: { resource: `${kind}/${name}` } });
    }
    const teams = [existing?.team, change.action === "apply" ? change.manifest.team : undefined];
    const foreignTeam = teams.find(team => team !== undefined && !canAccessTeam(operator, team));
    return foreignTeam === undefined ? undefined : createFailure(ErrorCode.Forbidden, {
        message: `The token does not act for team "${foreignTeam}".`,
        details: { resource: `${kind}/${name}`, team: foreignTeam },
    });
};

interface VersionDifference {
    readonly resource: string;
    readonly expectedVersion: number;
    /** Version of the resource; 0 if it does not exist. */
    readonly currentVersion: number;
}

const differencesOf = (
    changes: readonly RequestedChange[],
    document: ConfigurationDocument,
): readonly VersionDifference[] =>
    changes.flatMap(change => {
        const { kind, name } = targetOf(change);
        const currentVersion: number = findResource(document, kind, name)?.version ?? 0;
        const { expectedVersion = currentVersion } = change;
        return expectedVersion === currentVersion
            ? []
            : [{ resource: `${kind}/${name}`, expectedVersion, currentVersion }];
    });

const versionConflict = (differences: readonly VersionDifference[]): Failure => {
    const resources = differences.map(({ resource, expectedVersion, currentVersion }) =>
        `${resource} has version ${currentVersion}, expected ${expectedVersion}`
    );
    return createFailure(ErrorCode.VersionConflict, {
        message: `${resources.join("; ")}.`,
        details: { currentVersion: differences[0]?.currentVersion, conflicts: differences },
    });
};

/**
 * Checks that the operator may apply all changes to the document, and that the expected versions match.
 *
 * Returns the changes with the checked version as expected version, so that a concurrent change can't move a resource
 * to a team that the operator was not authorized for.
 */
export const authorizeChanges = (
    changes: readonly RequestedChange[],
    document: ConfigurationDocument,
    operator: Operator,
): Result<readonly RequestedChange[], Failure> => {
    const failure = changes.map(change => failureOf(change, document, operator)).find(found => found !== undefined);
    if (failure !== undefined) {
        return Err(failure);
    }
    const differences = differencesOf(changes, document);
    if (differences.length > 0) {
        return Err(versionConflict(differences));
    }
    return Ok(changes.map(change => {
        const { kind, name } = targetOf(change);
        const checkedVersion = findResource(document, kind, name)?.version ?? (0 as Revision);
        return { ...change, expectedVersion: change.expectedVersion ?? checkedVersion };
    }));
};
