import { createFailure, ErrorCode } from "@ibislanding/core";
import { Err, Ok } from "ts-results";
import { parseOperationId } from "../commands/parseOperationId";
import type { AdminRoute } from "../http/adminRoute";
import { toOperationView } from "../views/toOperationView";

/** Returns an accepted operation by its id, with whether it is in force. */
export const getOperation: AdminRoute = {
    method: "GET",
    path: "/v1/operations/:operationId",
    handle: async ({ parameters }, services) => {
        const operationId = parseOperationId(parameters.operationId ?? "");
        if (operationId.err) {
            return operationId;
        }
        const change = await services.configuration.findOperation(operationId.val);
        return change.andThen(found =>
            found === undefined
                ? Err(createFailure(ErrorCode.UnknownResource, {
                    message: "No operation with this id is recorded.",
                    details: { operationId: operationId.val },
                }))
                : Ok({ type: "json", status: 200, body: toOperationView(found, services.members.list()) } as const)
        );
    },
};
