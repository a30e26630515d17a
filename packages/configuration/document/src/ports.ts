/** What other parts of an entry instance need to know about the configuration. */
import type {DocumentEnvelope} from './schema.js';

export type ConfigurationPort = {
	/** The document in force; undefined until the first one is known. */
	current(): DocumentEnvelope | undefined;
	/** Milliseconds since the document was last confirmed to be the newest; undefined if never. */
	confirmationAgeMilliseconds(): number | undefined;
	/** Calls back after another version came into force. */
	subscribe(listener: (envelope: DocumentEnvelope) => void): void;
};
