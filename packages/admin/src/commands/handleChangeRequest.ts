import type { RequestedChange } from "@ibislanding/configuration";
import { createFailure, ErrorCode, type Failure, type OperationId } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import type { AdminRequest } from "../http/adminRequest";
import type { AdminResponse } from "../http/adminResponse";
import { toOperationView } from "../views/toOperationView";
import { applyChanges } from "./applyChanges";
import { parseOperationId } from "./parseOperationId";

const GENERATED_ID_LENGTH = 32;

const dryRunValues: Readonly<Record<string, boolean>> = { true: true, false: false };

const dryRunOf = ({ query }: AdminRequest): Result<boolean, Failure> => {
    const dryRun = dryRunValues[query.get("dryRun") ?? "false"];
    return dryRun === undefined
        ? Err(createFailure(ErrorCode.BadRequest, {
            message: "dryRun: must be true or false",
            details: { field: "dryRun" },
        }))
        : Ok(dryRun);
};

const operationIdOf = ({ headers }: AdminRequest, services: AdminServices): Result<OperationId, Failure> => {
    const given = headers["operation-id"];
    return given === undefined
        ? Ok(services.random.nextHex(GENERATED_ID_LENGTH) as OperationId)
        : parseOperationId(String(given));
};

/** Applies the changes of a request and responds with the operation; if they can't be applied, the failure has its id. */
export const handleChangeRequest = async (
    request: AdminRequest,
    services: AdminServices,
    changes: readonly RequestedChange[],
): Promise<Result<AdminResponse, Failure>> => {
    const operationId = operationIdOf(request, services);
    if (operationId.err) {
        return operationId;
    }
    const dryRun = dryRunOf(request);
    if (dryRun.err) {
        return dryRun;
    }
    const change = await applyChanges(services.configuration, {
        operationId: operationId.val,
        changes,
        operator: request.operator,
        dryRun: dryRun.val,
    });
    return change
        .map((accepted): AdminResponse => ({
            type: "json",
            status: 200,
            body: toOperationView(accepted, services.members.list(), dryRun.val),
            headers: { "operation-id": operationId.val },
        }))
        .mapErr(failure => ({ ...failure, details: { ...failure.details, operationId: operationId.val } }));
};
