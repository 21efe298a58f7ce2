import { backoffDelayMs, createFailure, ErrorCode, type Failure, type Revision } from "@ibislanding/core";
import type { ConfigurationChange } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { AppliedOperation } from "../documents/appliedOperation";
import type { ConfigurationOperation } from "../documents/configurationOperation";
import type { StoredConfiguration } from "../documents/storedConfiguration";
import { coversChangesSince } from "../queries/coversChangesSince";
import { findChange } from "../queries/findChange";
import { readStoredConfiguration } from "../queries/readStoredConfiguration";
import { readStoreVersion } from "../queries/readStoreVersion";
import { applyOperation } from "./applyOperation";
import type { ConfigurationWriter } from "./configurationWriter";
import type { ConfigurationWriterOptions } from "./configurationWriterOptions";
import { writeStoredConfiguration } from "./writeStoredConfiguration";

const MAXIMUM_ATTEMPTS = 12;
const BACKOFF = { initialDelayMs: 10, maximumDelayMs: 500 };

/** State of one operation across its attempts. */
interface RetryState {
    /** Revision that the first write with an unknown outcome was based on. */
    unknownOutcomeBase?: Revision;
    lastFailure: Failure;
}

type AttemptResult = Result<AppliedOperation, Failure> | "retry";

/** Creates a writer; each accepted operation is one successful compare-and-swap of the whole document. */
export const createConfigurationWriter = (options: ConfigurationWriterOptions): ConfigurationWriter => {
    const { store, clock, random } = options;
    const maximumAttempts = options.maximumAttempts ?? MAXIMUM_ATTEMPTS;
    let highestVersionSeen = 0;

    /** Reads the stored configuration; `undefined` when the read failed or is older than an earlier read or write. */
    const readUnlessStale = async (retryState: RetryState): Promise<StoredConfiguration | undefined> => {
        const stored = await readStoredConfiguration(store);
        if (stored.err) {
            retryState.lastFailure = stored.val;
            return undefined;
        }
        if (stored.val.storeVersion < highestVersionSeen) {
            return undefined;
        }
        highestVersionSeen = stored.val.storeVersion;
        return stored.val;
    };

    const outcomeUnknown = (operation: ConfigurationOperation): Failure =>
        createFailure(ErrorCode.OutcomeUnknown, {
            message: "The outcome of the operation is unknown; it may have been accepted.",
            details: { operationId: operation.operationId },
        });

    const apply = (stored: StoredConfiguration, operation: ConfigurationOperation, changedBy: string) =>
        applyOperation(stored.document, operation, { changedBy, nowMs: clock.wallMs() });

    /** Returns whether a write with an unknown outcome may have been applied and its record trimmed since then. */
    const mayHaveTrimmedEarlierWrite = (stored: StoredConfiguration, retryState: RetryState): boolean =>
        retryState.unknownOutcomeBase !== undefined
        && !coversChangesSince(stored.document, retryState.unknownOutcomeBase);

    /** Checked before a rejection: one that is based on a stale read could contradict an accepted operation. */
    const isLatestVersion = async (stored: StoredConfiguration): Promise<boolean> => {
        const version = await readStoreVersion(store);
        return version.ok && version.val === stored.storeVersion;
    };

    const write = async (
        stored: StoredConfiguration,
        applied: AppliedOperation,
        retryState: RetryState,
    ): Promise<AttemptResult> => {
        const written = await writeStoredConfiguration(store, applied.document, stored.storeVersion);
        if (written.ok) {
            highestVersionSeen = Math.max(highestVersionSeen, written.val);
            return Ok(applied);
        }
        if (written.val.code !== ErrorCode.KeyValueConflict) {
            retryState.lastFailure = written.val;
        }
        if (written.val.code === ErrorCode.KeyValueOutcomeUnknown) {
            retryState.unknownOutcomeBase ??= stored.document.revision;
        }
        return written.val.code === ErrorCode.KeyValueTooLarge ? written : "retry";
    };

    const attemptOnce = async (
        operation: ConfigurationOperation,
        changedBy: string,
        retryState: RetryState,
    ): Promise<AttemptResult> => {
        const stored = await readUnlessStale(retryState);
        if (stored === undefined) {
            return "retry";
        }
        if (mayHaveTrimmedEarlierWrite(stored, retryState)) {
            return Err(outcomeUnknown(operation));
        }
        const applied = apply(stored, operation, changedBy);
        if (applied.err) {
            return (await isLatestVersion(stored)) ? applied : "retry";
        }
        return applied.val.document === stored.document ? applied : write(stored, applied.val, retryState);
    };

    const applyWithRetries = async (
        operation: ConfigurationOperation,
        changedBy: string,
    ): Promise<Result<AppliedOperation, Failure>> => {
        const retryState: RetryState = { lastFailure: createFailure(ErrorCode.KeyValueUnavailable) };
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const result = await attemptOnce(operation, changedBy, retryState);
            if (result !== "retry") {
                return result;
            }
            await clock.sleep(backoffDelayMs(attempt, BACKOFF, random));
        }
        return Err(retryState.unknownOutcomeBase === undefined ? retryState.lastFailure : outcomeUnknown(operation));
    };

    return {
        apply: async (operation, changedBy): Promise<Result<ConfigurationChange, Failure>> => {
            const result = await applyWithRetries(operation, changedBy);
            if (result.err) {
                return result;
            }
            await options.onAccepted?.(result.val.document);
            return Ok(result.val.change);
        },
        dryRun: async (operation, changedBy) =>
            (await readStoredConfiguration(store)).andThen(stored => apply(stored, operation, changedBy)),
        findOperation: async operationId =>
            (await readStoredConfiguration(store)).map(stored => findChange(stored.document, operationId)),
    };
};
