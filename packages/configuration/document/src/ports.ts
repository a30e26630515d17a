/** Access to the configuration document for the other packages of an entry instance. */
import type {DocumentEnvelope} from './schema.js';

export type ConfigurationPort = {
	/** The document in force; undefined until the first one is known. */
	current(): DocumentEnvelope | undefined;
	/** Milliseconds since the document was last confirmed to be the newest; undefined if never. */
	confirmationAgeMilliseconds(): number | undefined;
	/** The listener is called whenever another version has come into force. */
	subscribe(listener: (envelope: DocumentEnvelope) => void): void;
};
