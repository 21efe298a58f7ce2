import type { RequestedChange } from "@ibislanding/configuration";
import { createFailure, ErrorCode, type Failure, type OperationId } from "@ibislanding/core";
import type { ConfigurationChange } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { Operator } from "../operators/operator";
import type { ConfigurationAccess } from "../ports/configurationAccess";
import { authorizeChanges } from "./authorizeChanges";
import { hashChanges } from "./hashChanges";

/** Attempts in case of concurrent changes, if the operator gave no expected version. */
const MAXIMUM_ATTEMPTS = 5;

interface ChangeRequest {
    readonly operationId: OperationId;
    readonly changes: readonly RequestedChange[];
    readonly operator: Operator;
    readonly dryRun: boolean;
}

const findRecordedChange = async (
    configuration: ConfigurationAccess,
    operationId: OperationId,
    contentSha256: string,
): Promise<Result<ConfigurationChange | undefined, Failure>> =>
    (await configuration.findOperation(operationId)).andThen(recorded =>
        recorded === undefined || recorded.contentSha256 === contentSha256
            ? Ok(recorded)
            : Err(createFailure(ErrorCode.KeyReused, {
                message: "The operation id was used with other changes.",
                details: { field: "Operation-Id" },
            }))
    );

/**
 * Applies changes as one operation, within the operator's teams.
 *
 * If the operation id was accepted before, returns the recorded change. Without an expected version the operation is
 * retried on top of concurrent changes; with one, it fails with `version_conflict` after a concurrent change.
 */
export const applyChanges = async (
    configuration: ConfigurationAccess,
    { operationId, changes, operator, dryRun }: ChangeRequest,
): Promise<Result<ConfigurationChange, Failure>> => {
    const contentSha256 = hashChanges(changes);
    const recorded = await findRecordedChange(configuration, operationId, contentSha256);
    if (recorded.err) {
        return recorded;
    }
    if (recorded.val !== undefined) {
        return Ok(recorded.val);
    }
    const write = dryRun ? configuration.dryRun : configuration.apply;

    const attempt = async (attemptsLeft: number): Promise<Result<ConfigurationChange, Failure>> => {
        const snapshot = await configuration.read();
        if (snapshot.err) {
            return snapshot;
        }
        const authorized = authorizeChanges(changes, snapshot.val.document, operator);
        if (authorized.err) {
            return authorized;
        }
        const result = await write({ operationId, contentSha256, changes: authorized.val }, operator.name);
        return result.err && result.val.code === ErrorCode.VersionConflict && attemptsLeft > 1
            ? attempt(attemptsLeft - 1)
            : result;
    };

    const result = await attempt(MAXIMUM_ATTEMPTS);
    if (result.ok || result.val.code !== ErrorCode.VersionConflict) {
        return result;
    }
    // The version may have been changed by an earlier attempt with this operation id whose response was lost.
    const late = await findRecordedChange(configuration, operationId, contentSha256);
    return late.ok && late.val !== undefined ? Ok(late.val) : result;
};
