import type { AdminRoute } from "../http/adminRoute";
import { handleChangeRequest } from "./handleChangeRequest";
import { parseChanges } from "./parseChanges";
import { parseExpectedVersion } from "./parseExpectedVersion";
import { parseKind } from "./parseKind";

/** Deletes one resource, on the condition of `If-Match` if given. */
export const deleteResource: AdminRoute = {
    method: "DELETE",
    path: "/v1/resources/:kind/:name",
    handle: async (request, services) => {
        const kind = parseKind(request.parameters.kind);
        const expectedVersion = parseExpectedVersion(request.headers);
        if (kind.err) {
            return kind;
        }
        if (expectedVersion.err) {
            return expectedVersion;
        }
        const { name } = request.parameters;
        const changes = parseChanges({
            changes: [{ action: "delete", kind: kind.val, name, expectedVersion: expectedVersion.val }],
        });
        return changes.err ? changes : handleChangeRequest(request, services, changes.val);
    },
};
