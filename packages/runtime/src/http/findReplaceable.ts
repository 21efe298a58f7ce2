import type { ConnectionState } from "./connectionState";

const NEVER_ASKED = 0;
const IDLE = 1;
const SENDS_BODY = 2;

/** Rank of a connection by what its close would cost; undefined if a whole request of it waits for its answer. */
const rank = ({ request, pending }: ConnectionState): number | undefined => {
    if (request === undefined) {
        return NEVER_ASKED;
    }
    if (pending.size === 0) {
        return IDLE;
    }
    return pending.size === 1 && !request.complete ? SENDS_BODY : undefined;
};

/** Returns the connection whose close costs least: one without a request, an idle one, or an unfinished body, the longest inactive first. */
export const findReplaceable = <Connection>(
    connections: ReadonlyMap<Connection, ConnectionState>,
): Connection | undefined =>
    [...connections].reduce<
        { readonly connection: Connection; readonly cost: number; readonly sinceMs: number; } | undefined
    >(
        (best, [connection, state]) => {
            const cost = rank(state);
            const sinceMs = state.lastActiveMs;
            const isBetter = cost !== undefined
                && (best === undefined || cost < best.cost || cost === best.cost && sinceMs < best.sinceMs);
            return isBetter ? { connection, cost, sinceMs } : best;
        },
        undefined,
    )?.connection;
