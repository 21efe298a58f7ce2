/** Fault mode of an upstream, applied to a share of its requests. */
export type UpstreamFault =
    | "none"
    | "errors"
    | "loses-answers"
    | "cuts-answers"
    | "extra-answers"
    | "unframed-answers"
    | "endless-bytes"
    | "odd-heads"
    | "pauses";
