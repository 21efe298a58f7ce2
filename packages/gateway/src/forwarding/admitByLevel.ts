import { measureFreeShare } from "../placement/measureFreeShare";
import { ANY_VERSION } from "../versions/anyVersion";
import type { ForwardContext } from "./forwardContext";
import { toOfferedRequest } from "./toOfferedRequest";
import { toPlacementRequest } from "./toPlacementRequest";

/**
 * Whether the service's admission level admits the request; decided once, when the request is placed first. A request that
 * another host relays and a stream that the client takes up were admitted before.
 */
export const admitByLevel = (context: ForwardContext): boolean => {
    const { options, admitted, softwareVersion } = context;
    const { admission, upstreams, relayed } = options;
    if (admission === undefined || context.isAdmittedByLevel !== undefined) {
        return context.isAdmittedByLevel !== false;
    }
    const offered = toOfferedRequest(admitted);
    admission.recordOffered(offered);
    // Claimed also if the level admits the request, so that its place is not held any longer.
    const hasPlace = options.returns?.claim(offered, context.features.request) === true;
    context.isAdmittedByLevel = relayed !== undefined || softwareVersion !== undefined
        || admission.admits(
            offered,
            () =>
                measureFreeShare(
                    upstreams.candidates(admitted.service, toPlacementRequest(context, false, ANY_VERSION)),
                ),
            { hasPlace: () => hasPlace, heldShare: () => options.returns?.heldShare(offered) ?? 0 },
        );
    return context.isAdmittedByLevel;
};
