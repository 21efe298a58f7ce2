import type { Statement } from "./statement";
import type { Statements } from "./statements";

/** Number of a statement that is no longer made, in reports. */
const NO_LONGER_STATED = -1;

const keyOf = ({ upstreamId, startedAtMs }: Pick<Statement, "upstreamId" | "startedAtMs">): string =>
    `${upstreamId}/${startedAtMs}`;

/**
 * Creates an empty register of statements.
 *
 * Answers and reports of one upstream arrive at the hosts in different orders. The newest answer counts, so that all hosts
 * come to the same statement.
 */
export const createStatements = (): Statements => {
    const statements = new Map<string, Statement>();
    return {
        observe: (start, perS, atMs) => {
            const key = keyOf(start);
            const known = statements.get(key);
            if (known !== undefined && atMs <= known.statedAtMs) {
                return false;
            }
            if (perS === undefined) {
                if (known !== undefined) {
                    statements.set(key, { ...known, statedAtMs: atMs, liftedAtMs: known.liftedAtMs ?? atMs });
                }
                return known !== undefined && known.liftedAtMs === undefined;
            }
            const { upstreamId, startedAtMs } = start;
            statements.set(key, { upstreamId, startedAtMs, perS, statedAtMs: atMs, liftedAtMs: undefined });
            return known?.perS !== perS || known.liftedAtMs !== undefined;
        },
        find: start => statements.size === 0 ? undefined : statements.get(keyOf(start)),
        list: () => [...statements.values()],
        rows: () =>
            [...statements.values()].map(({ upstreamId, startedAtMs, statedAtMs, perS, liftedAtMs }) =>
                [
                    upstreamId,
                    startedAtMs,
                    Math.round(statedAtMs),
                    liftedAtMs === undefined ? perS : NO_LONGER_STATED,
                ] as const
            ),
        retain: isKnown =>
            [...statements].filter(([, statement]) => !isKnown(statement)).forEach(([key]) => statements.delete(key)),
    };
};
