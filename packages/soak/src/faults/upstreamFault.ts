/** How an upstream misbehaves. */
export type UpstreamFault = "none" | "errors" | "loses-answers" | "cuts-answers" | "extra-answers";
