import type { AccountAdmission } from "../limits/accountAdmission";
import type { IdentifiedRequest } from "./identifiedRequest";

/** A request admitted by the rate limit of its account. */
export interface AdmittedRequest extends IdentifiedRequest {
    readonly admission: AccountAdmission & { readonly kind: "entitled" | "spare"; };
}
