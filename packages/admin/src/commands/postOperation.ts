import type { AdminRoute } from "../http/adminRoute";
import { handleChangeRequest } from "./handleChangeRequest";
import { parseChanges } from "./parseChanges";

/** Applies several changes atomically, as one operation. */
export const postOperation: AdminRoute = {
    method: "POST",
    path: "/v1/operations",
    handle: async (request, services) => {
        const changes = parseChanges(request.body);
        return changes.err ? changes : handleChangeRequest(request, services, changes.val);
    },
};
