import { Ok } from "ts-results";
import type { AdminRoute } from "../http/adminRoute";
import { readViewSource } from "../views/readViewSource";
import { toResourceView } from "../views/toResourceView";
import { findVisibleResource } from "./findVisibleResource";

/** Returns the status of one resource with the member reports it was derived from. */
export const getStatus: AdminRoute = {
    method: "GET",
    path: "/v1/status/:kind/:name",
    handle: async (request, services) => {
        const found = await findVisibleResource(request, services);
        if (found.err) {
            return found;
        }
        const { resource } = found.val;
        const { kind, name, generation, version, status } = toResourceView(
            resource,
            await readViewSource(services, resource.kind, resource.name),
        );
        const members = services.members.list();
        return Ok({ type: "json", status: 200, body: { kind, name, generation, version, ...status, members } });
    },
};
