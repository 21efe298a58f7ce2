import type { UpstreamId } from "@ibislanding/core";
import { createStatements } from "../limits/createStatements";
import type { Statement } from "../limits/statement";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { BrittleStatements } from "./brittleStatements";
import type { BrittleUpstreamsOptions } from "./brittleUpstreamsOptions";

/** Time over which a restriction that is no longer stated is lifted, and the time of each step. */
const RISE_MS = 6_000;
const RISE_STEP_MS = 1_000;

type Start = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

/**
 * Creates the statements of brittle upstreams, without any.
 *
 * Handles hosts that send to upstreams from which they have had no answer since these became brittle: after the first
 * statement of a service, and after a crash, when all hosts would send to the idle upstream at once.
 */
export const createBrittleStatements = (
    { sharedNowMs, upstreamsOf }: Pick<BrittleUpstreamsOptions, "sharedNowMs" | "upstreamsOf">,
): BrittleStatements => {
    const statements = createStatements();
    /** Starts that have answered without a statement since any upstream made one. */
    const silentStarts = new Map<UpstreamId, number>();
    let count = 0;

    const findPredecessor = ({ upstreamId, startedAtMs }: Start): Statement | undefined =>
        statements.list().find(statement =>
            statement.upstreamId === upstreamId && statement.startedAtMs < startedAtMs
            && statement.liftedAtMs === undefined
        );

    const findOfService = ({ service }: UpstreamRecord): Statement | undefined =>
        upstreamsOf(service).flatMap(other => statements.find(other) ?? [])
            .find(({ liftedAtMs }) => liftedAtMs === undefined);

    const findStatement = (upstream: UpstreamRecord): Statement | undefined => {
        const known = statements.find(upstream);
        return known === undefined && silentStarts.get(upstream.upstreamId) !== upstream.startedAtMs
            ? findPredecessor(upstream) ?? findOfService(upstream)
            : known;
    };

    const stepsSince = (liftedAtMs: number): number =>
        Math.floor(Math.max(0, sharedNowMs() - liftedAtMs) / RISE_STEP_MS);

    return {
        isEmpty: () => count === 0,
        find: statements.find,
        rows: statements.rows,
        observe: (start, rejectionsPerS, atMs) => {
            if (rejectionsPerS === undefined && statements.find(start) === undefined) {
                if (count > 0) {
                    silentStarts.set(start.upstreamId, start.startedAtMs);
                }
                return false;
            }
            const isChanged = statements.observe(start, rejectionsPerS, atMs);
            count = statements.list().length;
            return isChanged;
        },
        findInForce: upstream => {
            const statement = count === 0 ? undefined : findStatement(upstream);
            const isLifted = statement?.liftedAtMs !== undefined
                && stepsSince(statement.liftedAtMs) >= RISE_MS / RISE_STEP_MS;
            return isLifted ? undefined : statement;
        },
        risenShare: ({ liftedAtMs }) =>
            liftedAtMs === undefined ? 0 : stepsSince(liftedAtMs) / (RISE_MS / RISE_STEP_MS),
        retain: isKnown => {
            statements.retain(isKnown);
            count = statements.list().length;
            if (count === 0) {
                silentStarts.clear();
            }
        },
    };
};
