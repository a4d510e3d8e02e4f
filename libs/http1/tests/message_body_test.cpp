#include "gentianlug/http1/message_body.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::http1;

TEST_GROUP(MessageBody){};

// Guards against bodies that lose, repeat or swap bytes between their parts.
TEST(MessageBody, KeepsAllBytesInOrder) {
  body_builder Builder;
  std::string Expected;
  for (std::size_t Size :
       {std::size_t(1), std::size_t(1000), body_builder::MaxPartBytes - 1,
        2 * body_builder::MaxPartBytes, std::size_t(3)}) {
    std::string Piece(Size, char('a' + Expected.size() % 26));
    Builder.append(Piece);
    Expected += Piece;
    UNSIGNED_LONGS_EQUAL(Expected.size(), Builder.size());
  }
  message_body Body = Builder.take();
  CHECK(Body.str() == Expected);
  UNSIGNED_LONGS_EQUAL(0, Builder.size());
  CHECK(Builder.take().empty());
}

// Guards against memory beyond the size of a body while it grows.
TEST(MessageBody, GrowsByPartsOfLimitedSize) {
  body_builder Builder;
  const std::string Piece(1000, 'x');
  for (int Count = 0; Count < 5000; ++Count) {
    Builder.append(Piece);
    CHECK(Builder.heldBytes() <= Builder.size() + body_builder::MaxPartBytes);
  }
  message_body Body = Builder.take();
  for (const message_body::part &Part : Body.parts())
    CHECK(Part->capacity() <= body_builder::MaxPartBytes);
}

// Guards against a body that is held once for each server that it is sent to.
TEST(MessageBody, CopiesShareTheirParts) {
  message_body Body(std::string(1000, 'x'));
  message_body Copy = Body;
  Copy.append("more");
  POINTERS_EQUAL(Body.parts().front().get(), Copy.parts().front().get());
  UNSIGNED_LONGS_EQUAL(1000, Body.size());
}
