import type { AdminRoute } from "../http/adminRoute";
import { parseCount } from "./parseCount";
import { snapshotHeaders } from "./snapshotHeaders";

const DEFAULT_LIMIT = 100;

/** Lists who changed what, the latest change first. */
export const listAudit: AdminRoute = {
    method: "GET",
    path: "/v1/audit",
    handle: async ({ query }, services) => {
        const limit = parseCount(query, "limit", DEFAULT_LIMIT);
        const afterRevision = parseCount(query, "afterRevision", 0);
        if (limit.err) {
            return limit;
        }
        if (afterRevision.err) {
            return afterRevision;
        }
        return (await services.configuration.read()).map(snapshot => {
            const { revision, recentChanges } = snapshot.document;
            const changes = recentChanges
                .filter(change => change.revision > afterRevision.val)
                .reverse()
                .slice(0, limit.val);
            return { type: "json", status: 200, body: { revision, changes }, headers: snapshotHeaders(snapshot) };
        });
    },
};
