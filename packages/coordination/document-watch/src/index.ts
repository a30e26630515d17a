export const packageName = '@turmericbay/document-watch';
