import { Ok } from "ts-results";
import type { AdminRoute } from "../http/adminRoute";
import { parseCount } from "./parseCount";
import { snapshotHeaders } from "./snapshotHeaders";

const DEFAULT_LIMIT = 100;
const MAXIMUM_LIMIT = 1_000;

/** Lists the recorded changes, latest first; changes that the document no longer lists are read from the archive. */
export const listAudit: AdminRoute = {
    method: "GET",
    path: "/v1/audit",
    handle: async ({ query }, { configuration, auditArchive }) => {
        const requested = parseCount(query, "limit", DEFAULT_LIMIT);
        const afterRevision = parseCount(query, "afterRevision", 0);
        if (requested.err) {
            return requested;
        }
        if (afterRevision.err) {
            return afterRevision;
        }
        const snapshot = await configuration.read();
        if (snapshot.err) {
            return snapshot;
        }
        const limit = Math.min(requested.val, MAXIMUM_LIMIT);
        const { revision, recentChanges } = snapshot.val.document;
        const recent = recentChanges
            .filter(change => change.revision > afterRevision.val)
            .reverse()
            .slice(0, limit);
        const beforeRevision = recentChanges[0]?.revision ?? 0;
        const isArchiveNeeded = recent.length < limit && beforeRevision > afterRevision.val + 1;
        const archived = isArchiveNeeded
            ? await auditArchive.read({
                beforeRevision,
                afterRevision: afterRevision.val,
                limit: limit - recent.length,
            })
            : undefined;
        const older = archived?.ok === true ? archived.val : [];
        const body = { revision, changes: [...recent, ...older], archiveRead: archived?.err !== true };
        return Ok({ type: "json", status: 200, body, headers: snapshotHeaders(snapshot.val) });
    },
};
