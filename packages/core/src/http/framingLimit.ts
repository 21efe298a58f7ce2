/** Limit on the bytes of a response that are neither a head nor a part of a body. */
export interface FramingLimit {
    /** Called when a head or a part of a body was received. */
    readonly recordProgress: () => void;
    /** Stops counting. */
    readonly release: () => void;
}
