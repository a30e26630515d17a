/** Logs the events of the document watch. */
import type {DocumentWatchEvent} from '@turmericbay/document-watch';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';

export const logDocumentEvent = (logger: Logger, event: DocumentWatchEvent): void => {
	switch (event.type) {
		case 'adopted': {
			logger.log(LogEvent.DocumentInForce, {version: event.version, source: event.source});
			break;
		}

		case 'older-ignored': {
			logger.log(LogEvent.DocumentOlderIgnored, {version: event.version, inForce: event.inForce, source: event.source});
			break;
		}

		case 'content-conflict': {
			logger.log(LogEvent.DocumentRefused, {version: event.version, source: event.source, reason: 'the same version with other content'});
			break;
		}

		case 'unreadable': {
			logger.log(LogEvent.DocumentRefused, {source: event.source, reason: event.fault});
			break;
		}

		case 'watch-ended': {
			logger.log(LogEvent.WatchEnded, {reason: event.message});
			break;
		}

		case 'platform-lost': {
			logger.log(LogEvent.PlatformUnreachable, {reason: event.message});
			break;
		}

		case 'platform-found': {
			logger.log(LogEvent.PlatformReachable);
			break;
		}

		case 'submit-pending': {
			logger.log(LogEvent.DocumentSubmitted, {changeId: event.changeId, outcome: 'unknown'});
			break;
		}

		case 'submit-resolved': {
			logger.log(LogEvent.DocumentSubmitted, {changeId: event.changeId, outcome: 'resolved'});
			break;
		}
	}
};
