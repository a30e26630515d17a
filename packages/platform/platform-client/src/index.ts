export const packageName = '@turmericbay/platform-client';
