import type { SoftwareVersion } from "@ibislanding/core";
import type { AccountAdmission } from "../limits/accountAdmission";
import type { IdentifiedRequest } from "./identifiedRequest";

/** A request admitted by the rate limit of its account. */
export interface AdmittedRequest extends IdentifiedRequest {
    /** Version at which a stream goes on that the client takes up. */
    readonly softwareVersion: SoftwareVersion | undefined;
    readonly admission: AccountAdmission & { readonly kind: "entitled" | "spare"; };
}
