import { backoffDelayMs, createFailure, ErrorCode, type Failure, type Revision } from "@ibislanding/core";
import type { ConfigurationChange } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { AppliedOperation } from "../documents/appliedOperation";
import type { ConfigurationHead } from "../documents/configurationHead";
import type { ConfigurationOperation } from "../documents/configurationOperation";
import { coversChangesSince } from "../queries/coversChangesSince";
import { findChange } from "../queries/findChange";
import { readHead } from "../queries/readHead";
import { readStoreVersion } from "../queries/readStoreVersion";
import { applyOperation } from "./applyOperation";
import type { ConfigurationWriter } from "./configurationWriter";
import type { ConfigurationWriterOptions } from "./configurationWriterOptions";
import { writeHead } from "./writeHead";

const MAXIMUM_ATTEMPTS = 12;
const BACKOFF = { initialDelayMs: 10, maximumDelayMs: 500 };

/** Progress of one operation over its attempts. */
interface Attempts {
    /** Revision on which the first write with an unknown outcome was based. */
    unknownSince?: Revision;
    lastFailure: Failure;
}

type AttemptResult = Result<AppliedOperation, Failure> | "retry";

/** Creates a writer; each accepted operation is one confirmed compare-and-swap of the whole document. */
export const createConfigurationWriter = (options: ConfigurationWriterOptions): ConfigurationWriter => {
    const { store, clock, random } = options;
    const maximumAttempts = options.maximumAttempts ?? MAXIMUM_ATTEMPTS;
    let newestVersionSeen = 0;

    /** Reads the head; undefined when the read failed or is older than one seen before. */
    const readFresh = async (attempts: Attempts): Promise<ConfigurationHead | undefined> => {
        const head = await readHead(store);
        if (head.err) {
            attempts.lastFailure = head.val;
            return undefined;
        }
        if (head.val.storeVersion < newestVersionSeen) {
            return undefined;
        }
        newestVersionSeen = head.val.storeVersion;
        return head.val;
    };

    const outcomeUnknown = (operation: ConfigurationOperation): Failure =>
        createFailure(ErrorCode.OutcomeUnknown, {
            message: "It is not known whether the operation was accepted.",
            details: { operationId: operation.operationId },
        });

    const apply = (head: ConfigurationHead, operation: ConfigurationOperation, changedBy: string) =>
        applyOperation(head.document, operation, { changedBy, nowMs: clock.wallMs() });

    /** An earlier write may be hidden when the recent changes no longer reach back to it. */
    const mayHideEarlierWrite = (head: ConfigurationHead, attempts: Attempts): boolean =>
        attempts.unknownSince !== undefined && !coversChangesSince(head.document, attempts.unknownSince);

    /** A refusal decided on an old read could contradict an acceptance. */
    const isCurrent = async (head: ConfigurationHead): Promise<boolean> => {
        const version = await readStoreVersion(store);
        return version.ok && version.val === head.storeVersion;
    };

    const write = async (
        head: ConfigurationHead,
        applied: AppliedOperation,
        attempts: Attempts,
    ): Promise<AttemptResult> => {
        const written = await writeHead(store, applied.document, head.storeVersion);
        if (written.ok) {
            newestVersionSeen = Math.max(newestVersionSeen, written.val);
            return Ok(applied);
        }
        if (written.val.code !== ErrorCode.KeyValueConflict) {
            attempts.lastFailure = written.val;
        }
        if (written.val.code === ErrorCode.KeyValueOutcomeUnknown) {
            attempts.unknownSince ??= head.document.revision;
        }
        return written.val.code === ErrorCode.KeyValueTooLarge ? written : "retry";
    };

    const attempt = async (
        operation: ConfigurationOperation,
        changedBy: string,
        attempts: Attempts,
    ): Promise<AttemptResult> => {
        const head = await readFresh(attempts);
        if (head === undefined) {
            return "retry";
        }
        if (mayHideEarlierWrite(head, attempts)) {
            return Err(outcomeUnknown(operation));
        }
        const applied = apply(head, operation, changedBy);
        if (applied.err) {
            return (await isCurrent(head)) ? applied : "retry";
        }
        return applied.val.document === head.document ? applied : write(head, applied.val, attempts);
    };

    const applyWithRetries = async (
        operation: ConfigurationOperation,
        changedBy: string,
    ): Promise<Result<AppliedOperation, Failure>> => {
        const attempts: Attempts = { lastFailure: createFailure(ErrorCode.KeyValueUnavailable) };
        for (let count = 0; count < maximumAttempts; count++) {
            const result = await attempt(operation, changedBy, attempts);
            if (result !== "retry") {
                return result;
            }
            await clock.sleep(backoffDelayMs(count, BACKOFF, random));
        }
        return Err(attempts.unknownSince === undefined ? attempts.lastFailure : outcomeUnknown(operation));
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
            (await readHead(store)).andThen(head => apply(head, operation, changedBy)),
        findOperation: async operationId => (await readHead(store)).map(head => findChange(head.document, operationId)),
    };
};
