#ifndef FULMARQUAY_LIBWIRE_RESPONSETEXT_H
#define FULMARQUAY_LIBWIRE_RESPONSETEXT_H

#include "fulmarquay/wire/HttpMessage.h"

#include <string>
#include <vector>

namespace fulmarquay {

// Parts of an HTTP/1.1 response as they are sent.

std::string
StatusLine(int aStatus);
std::string
HeaderLines(const std::vector<HttpHeader>& aHeaders);
std::string
EncodeChunk(const std::string& aData);

} // namespace fulmarquay

#endif
