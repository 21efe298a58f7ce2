import { listResources as resourcesOf, type Resource } from "@ibislanding/resources";
import { Ok } from "ts-results";
import { parseKind } from "../commands/parseKind";
import type { AdminRoute } from "../http/adminRoute";
import { canAccessTeam } from "../operators/canAccessTeam";
import { readViewSources } from "../views/readViewSources";
import { toResourceView } from "../views/toResourceView";
import { snapshotHeaders } from "./snapshotHeaders";

/** Lists the resources of one kind that belong to the operator's teams. */
export const listKind: AdminRoute = {
    method: "GET",
    path: "/v1/resources/:kind",
    handle: async ({ operator, parameters }, services) => {
        const kind = parseKind(parameters.kind);
        if (kind.err) {
            return kind;
        }
        const snapshot = await services.configuration.read();
        if (snapshot.err) {
            return snapshot;
        }
        const { document } = snapshot.val;
        const sourceOf = await readViewSources(services, kind.val);
        const resources = (resourcesOf(document, kind.val) as readonly unknown[] as readonly Resource[])
            .filter(({ team }) => canAccessTeam(operator, team))
            .map(resource => toResourceView(resource, sourceOf(resource.name)));
        return Ok({
            type: "json",
            status: 200,
            body: { revision: document.revision, resources },
            headers: snapshotHeaders(snapshot.val),
        });
    },
};
