/** Writes schema/document.schema.json and the generated tables of docs/document.md. */
import {readFile, writeFile} from 'node:fs/promises';
import {formatJsonSchema, replaceFieldTables} from './documentation.js';

const schemaFile = new URL('../../schema/document.schema.json', import.meta.url);
const pageFile = new URL('../../../../../docs/document.md', import.meta.url);

await writeFile(schemaFile, formatJsonSchema());
await writeFile(pageFile, replaceFieldTables(await readFile(pageFile, 'utf8')));
