import type { Revision } from "@ibislanding/core";
import {
    type ConfigurationAnnouncement,
    type ConfigurationAnnouncementResponse,
    type ConfigurationRequest,
    type ConfigurationResponse,
    ConfigurationServiceService,
    createUnaryHandler,
    type PeerService,
} from "@ibislanding/protocol";
import { Ok } from "ts-results";
import { parseDocument } from "../documents/parseDocument";
import { serializeDocument } from "../documents/serializeDocument";
import type { ConfigurationFollower } from "../follower/configurationFollower";

const NO_REVISION = -1;

/** Creates the gRPC service through which peers fetch and announce configurations. */
export const createConfigurationService = (
    follower: Pick<ConfigurationFollower, "current" | "offer">,
): PeerService => {
    const handleFetch = (request: ConfigurationRequest): ConfigurationResponse => {
        const document = follower.current();
        const isNewer = document !== undefined && document.revision > (request.knownRevision ?? NO_REVISION);
        return { revision: document?.revision, document: isNewer ? serializeDocument(document) : "" };
    };

    const handleAnnouncement = (announcement: ConfigurationAnnouncement): void => {
        const known = follower.current()?.revision ?? (NO_REVISION as Revision);
        if (announcement.document !== "" && announcement.revision > known) {
            parseDocument(announcement.document).map(document => void follower.offer(document));
        }
    };

    return {
        definition: ConfigurationServiceService,
        implementation: {
            fetch: createUnaryHandler((request: ConfigurationRequest) => Ok(handleFetch(request))),
            announce: createUnaryHandler((announcement: ConfigurationAnnouncement) => {
                handleAnnouncement(announcement);
                return Ok<ConfigurationAnnouncementResponse>({ revision: follower.current()?.revision });
            }),
        },
    };
};
