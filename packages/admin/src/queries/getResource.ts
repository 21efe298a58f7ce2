import { Ok } from "ts-results";
import type { AdminRoute } from "../http/adminRoute";
import { readViewSource } from "../views/readViewSource";
import { toResourceView } from "../views/toResourceView";
import { findVisibleResource } from "./findVisibleResource";
import { snapshotHeaders } from "./snapshotHeaders";

/** Returns one resource with its status, and its version as `ETag`. */
export const getResource: AdminRoute = {
    method: "GET",
    path: "/v1/resources/:kind/:name",
    handle: async (request, services) => {
        const found = await findVisibleResource(request, services);
        if (found.err) {
            return found;
        }
        const { resource, snapshot } = found.val;
        const source = await readViewSource(services, resource.kind, resource.name);
        return Ok({
            type: "json",
            status: 200,
            body: toResourceView(resource, source),
            headers: { ...snapshotHeaders(snapshot), etag: `"${resource.version}"` },
        });
    },
};
