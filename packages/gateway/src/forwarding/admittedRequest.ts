import type { AccountAdmission } from "../limits/accountAdmission";
import type { IdentifiedRequest } from "./identifiedRequest";

/** A request that its account's limit lets run. */
export interface AdmittedRequest extends IdentifiedRequest {
    readonly admission: AccountAdmission & { readonly kind: "entitled" | "spare"; };
}
