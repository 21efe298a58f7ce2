import { deleteResource } from "../commands/deleteResource";
import { postOperation } from "../commands/postOperation";
import { putResource } from "../commands/putResource";
import { getOperation } from "../queries/getOperation";
import { getResource } from "../queries/getResource";
import { getStatus } from "../queries/getStatus";
import { listAudit } from "../queries/listAudit";
import { listKind } from "../queries/listKind";
import { listMembers } from "../queries/listMembers";
import { watchResources } from "../queries/watchResources";
import type { AdminRoute } from "./adminRoute";

/** All routes of the administration API; no two match the same method and path. */
export const adminRoutes: readonly AdminRoute[] = [
    listKind,
    getResource,
    putResource,
    deleteResource,
    postOperation,
    getOperation,
    watchResources,
    getStatus,
    listAudit,
    listMembers,
];
