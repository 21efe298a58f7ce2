import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { type ConfigurationDocument, findResource, listResources, type ResourceOf } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { ChatRequest } from "./chatRequest";
import type { ResolvedModel } from "./resolvedModel";

const isDeclared = (configuration: ConfigurationDocument, { requestedModel, model }: ChatRequest): boolean =>
    requestedModel === model
    || findResource(configuration, "Adapter", requestedModel.slice(model.length + 1))?.spec.model === model;

/** Finds the active version of the requested model and its service; fails if the client account may not use it. */
export const resolveModel = (
    configuration: ConfigurationDocument,
    account: ResourceOf<"ClientAccount">,
    request: ChatRequest,
): Result<ResolvedModel, Failure> => {
    const version = listResources(configuration, "ModelVersion")
        .find(({ spec }) => spec.model === request.model && spec.active);
    const service = version === undefined ? undefined : findResource(configuration, "Service", version.spec.service);
    if (version === undefined || service === undefined || !isDeclared(configuration, request)) {
        return Err(createFailure(ErrorCode.UnknownModel));
    }
    return account.spec.models.some(name => name === "*" || name === request.model)
        ? Ok({ version, service })
        : Err(createFailure(ErrorCode.ForbiddenModel));
};
