import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { type ResourceKind, resourceKinds } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";

/** Parses the resource kind in a path; the failure lists the known kinds. */
export const parseKind = (text: string | undefined): Result<ResourceKind, Failure> => {
    const kind = resourceKinds.find(known => known === text);
    return kind === undefined
        ? Err(createFailure(ErrorCode.UnknownResource, {
            message: "No such resource kind.",
            details: { kinds: resourceKinds },
        }))
        : Ok(kind);
};
