export const packageName = '@turmericbay/admission';
