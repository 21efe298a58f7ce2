import { createFailure, ErrorCode, type Failure, type Revision } from "@ibislanding/core";
import {
    checkReferences,
    type ConfigurationChange,
    type ConfigurationDocument,
    type Resource,
    type ValidationIssue,
} from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { AppliedOperation } from "../documents/appliedOperation";
import type { ChangeContext } from "../documents/changeContext";
import type { ConfigurationOperation } from "../documents/configurationOperation";
import type { RequestedChange } from "../documents/requestedChange";
import { trimChanges } from "../documents/trimChanges";
import { findChange } from "../queries/findChange";
import { findDuplicates } from "../queries/findDuplicates";
import { findVersionConflicts } from "../queries/findVersionConflicts";
import { resourceKeyOf } from "../queries/resourceKeyOf";
import { applyChange } from "./applyChange";

const invalidResource = (issues: readonly ValidationIssue[]): Result<AppliedOperation, Failure> =>
    Err(createFailure(ErrorCode.InvalidResource, { details: { issues } }));

const resolveRetry = (
    document: ConfigurationDocument,
    operation: ConfigurationOperation,
    change: ConfigurationChange,
): Result<AppliedOperation, Failure> =>
    change.contentSha256 === operation.contentSha256
        ? Ok({ document, change })
        : Err(createFailure(ErrorCode.KeyReused, { details: { operationId: operation.operationId } }));

const checkChanges = (
    changes: readonly RequestedChange[],
    resources: ReadonlyMap<string, Resource>,
): Failure | undefined => {
    const duplicates = findDuplicates(changes);
    if (duplicates.length > 0) {
        return createFailure(ErrorCode.InvalidResource, { details: { issues: duplicates } });
    }
    const conflicts = findVersionConflicts(changes, resources);
    if (conflicts.length > 0) {
        const currentVersion = conflicts[0]?.currentVersion;
        return createFailure(ErrorCode.VersionConflict, { details: { currentVersion, conflicts } });
    }
    const missing = changes.filter(change => change.action === "delete" && !resources.has(resourceKeyOf(change)));
    return missing.length > 0
        ? createFailure(ErrorCode.UnknownResource, { details: { resources: missing.map(resourceKeyOf) } })
        : undefined;
};

/**
 * Applies an operation to a document. A retry of an operation that was already applied returns the earlier change and
 * the unchanged document. Fails with `version_conflict`, `invalid_resource`, `unknown_resource` or `key_reused`.
 */
export const applyOperation = (
    document: ConfigurationDocument,
    operation: ConfigurationOperation,
    context: ChangeContext,
): Result<AppliedOperation, Failure> => {
    const earlier = findChange(document, operation.operationId);
    if (earlier !== undefined) {
        return resolveRetry(document, operation, earlier);
    }
    const resources = new Map(document.resources.map(resource => [`${resource.kind}/${resource.name}`, resource]));
    const failure = checkChanges(operation.changes, resources);
    if (failure !== undefined) {
        return Err(failure);
    }
    const revision = (document.revision + 1) as Revision;
    const resourceChanges = operation.changes.map(change => applyChange(resources, change, revision, context));
    const issues = checkReferences([...resources.values()]);
    if (issues.length > 0) {
        return invalidResource(issues);
    }
    const change: ConfigurationChange = {
        operationId: operation.operationId,
        revision,
        changedBy: context.changedBy,
        changedAtMs: context.nowMs,
        contentSha256: operation.contentSha256,
        resources: resourceChanges,
    };
    const recentChanges = trimChanges([...document.recentChanges, change]);
    return Ok({ document: { revision, resources: [...resources.values()], recentChanges }, change });
};
