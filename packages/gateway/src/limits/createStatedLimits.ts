import { computeLimitShare } from "./computeLimitShare";
import { createHostHashes } from "./createHostHashes";
import { createStatements } from "./createStatements";
import type { StatedLimits } from "./statedLimits";
import type { StatedLimitsOptions } from "./statedLimitsOptions";
import type { Statement } from "./statement";

/** Wait for a host that may not send: by then, other hosts have sent some requests or the hosts have changed. */
const OTHER_SENDERS_WAIT_MS = 1_000;

/** Time over which a limit that is no longer stated rises, and the time in which it doubles. */
const RISE_MS = 6_000;
const DOUBLING_MS = 1_000;

/** Limit from which a lower one rises, in requests a second. */
const MINIMUM_RISING_PER_S = 1;

/** Time for which a computed share is used; computing it takes time in proportion to the number of hosts. */
const INTERVAL_LIFETIME_MS = 300;

/** This host's sends to an upstream that states a limit. */
interface Sending {
    /** Monotonic time from which this host may send again. */
    nextSendAtMs: number;
    /** Minimum time between two requests of this host; undefined if it may not send. */
    intervalMs: number | undefined;
    intervalSetAtMs: number;
}

const keyOf = ({ upstreamId, startedAtMs }: Pick<Statement, "upstreamId" | "startedAtMs">): string =>
    `${upstreamId}/${startedAtMs}`;

/**
 * Creates limits without statements.
 *
 * Handles an upstream in need that tells how many requests a second it takes from all hosts together. The newest
 * statement holds for all hosts, until a response states none; then the limit rises step by step, so that the hosts do
 * not all return at the same time. Without responses, the last statement stays in force.
 */
export const createStatedLimits = (
    { clock, hasher, sharedNowMs, ownAddress, hostAddresses }: StatedLimitsOptions,
): StatedLimits => {
    const statements = createStatements();
    const sendings = new Map<string, Sending>();
    const currentHosts = createHostHashes({ clock, hasher, hostAddresses });

    const sendingOf = (statement: Statement): Sending => {
        const known = sendings.get(keyOf(statement));
        const sending = known ?? { nextSendAtMs: -Infinity, intervalMs: undefined, intervalSetAtMs: -Infinity };
        if (known === undefined) {
            sendings.set(keyOf(statement), sending);
        }
        return sending;
    };

    /** The limit in force; undefined if there is none. */
    const currentLimitPerS = ({ perS, liftedAtMs }: Statement): number | undefined => {
        if (liftedAtMs === undefined) {
            return perS;
        }
        const risingMs = Math.max(0, sharedNowMs() - liftedAtMs);
        return risingMs >= RISE_MS
            ? undefined
            : Math.max(MINIMUM_RISING_PER_S, perS) * 2 ** Math.floor(risingMs / DOUBLING_MS);
    };

    const computeIntervalMs = (statement: Statement): number | undefined => {
        const limitPerS = currentLimitPerS(statement);
        if (limitPerS === undefined) {
            return 0;
        }
        return computeLimitShare(limitPerS, hasher.hash32(statement.upstreamId), currentHosts(), ownAddress)
            ?.intervalMs;
    };

    const currentIntervalMs = (statement: Statement): number | undefined => {
        const sending = sendingOf(statement);
        const nowMs = clock.monotonicMs();
        if (nowMs - sending.intervalSetAtMs >= INTERVAL_LIFETIME_MS) {
            sending.intervalMs = computeIntervalMs(statement);
            sending.intervalSetAtMs = nowMs;
        }
        return sending.intervalMs;
    };

    return {
        observe: (start, limitPerS, atMs) => {
            if (Number.isNaN(limitPerS)) {
                return false;
            }
            const isChanged = statements.observe(start, limitPerS, atMs);
            const sending = sendings.get(keyOf(start));
            if (isChanged && limitPerS !== undefined && sending !== undefined) {
                sending.intervalSetAtMs = -Infinity;
            }
            return isChanged;
        },
        waitMs: start => {
            const statement = statements.find(start);
            if (statement === undefined) {
                return 0;
            }
            return currentIntervalMs(statement) === undefined
                ? OTHER_SENDERS_WAIT_MS
                : Math.max(0, sendingOf(statement).nextSendAtMs - clock.monotonicMs());
        },
        recordSend: start => {
            const statement = statements.find(start);
            if (statement !== undefined) {
                const sending = sendingOf(statement);
                sending.nextSendAtMs = Math.max(clock.monotonicMs(), sending.nextSendAtMs)
                    + (currentIntervalMs(statement) ?? OTHER_SENDERS_WAIT_MS);
            }
        },
        rows: statements.rows,
        retain: isKnown => {
            statements.retain(isKnown);
            const keys = new Set(statements.list().map(keyOf));
            [...sendings.keys()].filter(key => !keys.has(key)).forEach(key => sendings.delete(key));
        },
    };
};
