/** Memory that the bodies of one request hold. */
export interface HeldMemory extends Disposable {
    /** Takes memory, or returns false if all requests together hold as much as they may. */
    readonly tryHold: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
}
