import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { findResource, type Resource } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import { parseKind } from "../commands/parseKind";
import type { AdminRequest } from "../http/adminRequest";
import { canAccessTeam } from "../operators/canAccessTeam";
import type { ConfigurationSnapshot } from "../ports/configurationSnapshot";

interface VisibleResource {
    readonly resource: Resource;
    readonly snapshot: ConfigurationSnapshot;
}

/** Finds the resource named in the path; fails with `Forbidden` if it belongs to a team the operator may not read. */
export const findVisibleResource = async (
    { operator, parameters }: AdminRequest,
    services: AdminServices,
): Promise<Result<VisibleResource, Failure>> => {
    const kind = parseKind(parameters.kind);
    if (kind.err) {
        return kind;
    }
    return (await services.configuration.read()).andThen(snapshot => {
        const resource = findResource(snapshot.document, kind.val, parameters.name ?? "") as Resource | undefined;
        if (resource === undefined) {
            return Err(createFailure(ErrorCode.UnknownResource));
        }
        return canAccessTeam(operator, resource.team)
            ? Ok({ resource, snapshot })
            : Err(createFailure(ErrorCode.Forbidden, {
                message: `The token does not act for team "${resource.team}".`,
            }));
    });
};
